"""Real processes against clients that take memory and descriptors."""
