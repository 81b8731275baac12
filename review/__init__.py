"""Cases of an independent review, each in a folder of its own, and their stand-ins."""
