"""Test dalehollow."""
