"""Tests of dalehollow."""
