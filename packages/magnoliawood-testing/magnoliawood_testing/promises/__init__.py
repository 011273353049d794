"""Proofs that the promises hold while real processes fail."""
