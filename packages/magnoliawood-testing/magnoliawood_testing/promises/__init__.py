"""Scenarios that check the promises under failure."""
