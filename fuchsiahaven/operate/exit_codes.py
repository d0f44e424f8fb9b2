"""Define the exit codes of all commands."""

from typing import Final

#: The command succeeded.
SUCCESS: Final = 0
#: The command ran with a negative result: faults, partial or refused.
FAILED: Final = 1
#: The command line itself is wrong (argparse uses the same code).
USAGE: Final = 2
#: The host or the platform could not be reached or did not answer.
UNREACHABLE: Final = 3
#: Another change was accepted first; nothing of this one was applied.
CONFLICT: Final = 4
#: It is unknown whether the command took effect.
UNKNOWN: Final = 5
