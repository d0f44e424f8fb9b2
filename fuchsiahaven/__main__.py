"""Run the command line."""

import sys

from fuchsiahaven.operate import commands

if __name__ == '__main__':
    sys.exit(commands.main(sys.argv[1:]))
