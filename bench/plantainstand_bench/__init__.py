"""Stand-ins, load and experiment tool, and benchmarks."""
