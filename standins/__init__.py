"""Stand in for the systems that dalehollow serves: platform, engines and plain services."""
