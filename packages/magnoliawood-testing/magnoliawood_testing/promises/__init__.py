"""Scenarios that check the guarantees of the product under failure."""
