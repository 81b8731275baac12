"""Fault-injection tests: run gateway processes under random faults and check their guarantees."""
