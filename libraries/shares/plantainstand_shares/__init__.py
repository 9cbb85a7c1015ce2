"""Shares of limited resources, split among entry VMs."""
