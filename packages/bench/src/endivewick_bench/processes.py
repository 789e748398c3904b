"""Processor time and memory of a process that the launcher started, from the kernel's counters."""

import os
from pathlib import Path

from .cluster import Process

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process: Process) -> float:
    """Return the processor time that a process has used, system time included."""
    fields = _read(process, "stat").rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / TICKS_PER_SECOND


def resident_kb(process: Process) -> int:
    """Return the resident memory of a process."""
    for line in _read(process, "status").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def _read(process: Process, name: str) -> str:
    assert process.popen is not None
    return Path(f"/proc/{process.popen.pid}/{name}").read_text()
