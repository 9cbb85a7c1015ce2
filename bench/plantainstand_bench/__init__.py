"""Stand-ins, load and experiment tool, and benchmarks."""

from plantainstand_bench._load_main import main as load_main
from plantainstand_bench._target_main import main as target_main
from plantainstand_bench._vm_list import main as vm_list_main

__all__ = ('load_main', 'target_main', 'vm_list_main')
