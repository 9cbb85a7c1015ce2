"""Target choice, admission queue, retry budget, hedging and target health."""
