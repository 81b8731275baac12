"""Run gateways as processes, break what is around them at random, and check what was promised."""
