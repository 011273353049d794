"""Budgets of what clients make a process hold."""
