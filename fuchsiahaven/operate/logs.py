"""Log short sentences with a fixed prefix per part and key=value fields.

A part is the task or module that speaks, such as `loop` or `gossip`. Lines
about a request carry the field `request_id`. Lines go to standard error: a
host has no disk.
"""

import datetime
import json
import logging as standard
import sys
from collections.abc import Mapping
from typing import Final, NamedTuple

from absl import flags, logging

from fuchsiahaven.operate import settings

#: A value made of other letters is quoted.
PLAIN: Final = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,[]',
)
LEVELS: Final[Mapping[settings.Verbosity, int]] = {
    settings.Verbosity.DEBUG: logging.DEBUG,
    settings.Verbosity.INFO: logging.INFO,
    settings.Verbosity.WARNING: logging.WARNING,
    settings.Verbosity.ERROR: logging.ERROR,
}
#: The attribute of a log record that carries the part and the fields.
ATTRIBUTE: Final = 'line'


class Line(NamedTuple):
    """Hold what one line tells."""

    part: str
    text: str
    fields: Mapping[str, object]


class TextFormatter(standard.Formatter):
    """Write a line for a person: time, level, part, text, fields."""

    def format(self, record: standard.LogRecord) -> str:
        """Write one record."""
        line = _read_line(record)
        told = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        stamp = told.isoformat(timespec='milliseconds')
        head = f'{stamp} {record.levelname}'
        words = [f'{name}={_quote(it)}' for name, it in line.fields.items()]
        return ' '.join((head, f'{line.part}:', line.text, *words))


class JsonFormatter(standard.Formatter):
    """Write a line as one JSON object; fields never hide the head."""

    def format(self, record: standard.LogRecord) -> str:
        """Write one record."""
        line = _read_line(record)
        head = {
            'time_epoch': round(record.created, 3),
            'level': record.levelname.lower(),
            'part': line.part,
            'text': line.text,
        }
        return json.dumps({**head, **line.fields, **head}, default=str)


def set_up(chosen: settings.Logs) -> None:
    """Send the log to standard error as the settings say."""
    # absl warns on its first line until its flags are read; argparse reads
    # the command line here, so there is nothing to read.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[chosen.verbosity])
    # At debug urllib3 tells every call in several lines, which would bury
    # what this program tells.
    standard.getLogger('urllib3').setLevel(standard.WARNING)
    formatter = JsonFormatter() if chosen.json else TextFormatter()
    handler = logging.get_absl_handler()
    handler.setFormatter(formatter)
    handler.python_handler.setStream(sys.stderr)
    # Its warnings are of lost connections, which the parts tell themselves.
    standard.getLogger('urllib3').setLevel(standard.ERROR)


def debug(part: str, text: str, **fields: object) -> None:
    """Log what only someone who reads the code will want."""
    _write(logging.DEBUG, Line(part, text, fields))


def info(part: str, text: str, **fields: object) -> None:
    """Log an ordinary change of state."""
    _write(logging.INFO, Line(part, text, fields))


def warning(part: str, text: str, **fields: object) -> None:
    """Log what an operator may have to look at."""
    _write(logging.WARNING, Line(part, text, fields))


def error(part: str, text: str, **fields: object) -> None:
    """Log what an operator has to look at."""
    _write(logging.ERROR, Line(part, text, fields))


def _write(level: int, line: Line) -> None:
    if level <= logging.get_verbosity():
        logging.log(level, '%s', line.text, extra={ATTRIBUTE: line})


def _read_line(record: standard.LogRecord) -> Line:
    """Find what a record tells; a library's own records carry no line."""
    line = getattr(record, ATTRIBUTE, None)
    if isinstance(line, Line):
        fields = line.fields
    else:
        line = Line(record.name, record.getMessage(), {})
        fields = {}
    if record.exc_info:
        trace = standard.Formatter().formatException(record.exc_info)
        fields = {**fields, 'exception': trace}
    return line._replace(fields=fields)


def _quote(told: object) -> str:
    """Write a value so that it stays one word on one line.

    Values can come from callers. A line break in one would forge a log line,
    and a space would forge a field; JSON's quoting escapes both.
    """
    text = str(told)
    return text if text and PLAIN.issuperset(text) else json.dumps(text)
