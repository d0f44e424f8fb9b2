"""List the exit codes of every command."""

from typing import Final

#: The command did what was asked.
SUCCESS: Final = 0
#: The command ran and the answer is no: faults found, partial, refused.
FAILED: Final = 1
#: The command line itself is wrong (argparse uses the same code).
USAGE: Final = 2
#: The host or the platform asked could not be reached or did not answer.
UNREACHABLE: Final = 3
#: Another change took hold first; nothing of this one was applied.
CONFLICT: Final = 4
#: Whether the command took effect cannot be told.
UNKNOWN: Final = 5
