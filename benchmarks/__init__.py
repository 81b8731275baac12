"""Measure dalehollow against baselines, each in one run; machines are noisy, so quote ratios."""
