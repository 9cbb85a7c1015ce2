"""Load summaries, exchange peers, the platform list and entry VM answers."""
