"""Simulate the systems around dalehollow: platform, metadata store, engines and plain services."""
