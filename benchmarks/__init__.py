"""Measure dalehollow against baselines in the same run; quote ratios, as machines are noisy."""
