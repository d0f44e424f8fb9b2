"""Log short sentences with a fixed prefix per part and key=value fields.

A part is the task or module that logs, such as `loop` or `gossip`. Lines
about a request have the field `request_id`. Lines go to standard error, as a
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

#: A value with any other character is quoted.
UNQUOTED_CHARACTERS: Final = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,[]',
)
LEVEL_BY_VERBOSITY: Final[Mapping[settings.Verbosity, int]] = {
    settings.Verbosity.DEBUG: logging.DEBUG,
    settings.Verbosity.INFO: logging.INFO,
    settings.Verbosity.WARNING: logging.WARNING,
    settings.Verbosity.ERROR: logging.ERROR,
}
#: The attribute of a logging record that holds the LogLine.
LINE_ATTRIBUTE: Final = 'line'


class LogLine(NamedTuple):
    """Hold the contents of one log line."""

    part: str
    text: str
    fields: Mapping[str, object]


class TextFormatter(standard.Formatter):
    """Format a line as text: time, level, part, text, fields."""

    def format(self, record: standard.LogRecord) -> str:
        """Format one record."""
        line = _get_line(record)
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        timestamp = moment.isoformat(timespec='milliseconds')
        head = f'{timestamp} {record.levelname}'
        fields = [f'{name}={_quote(it)}' for name, it in line.fields.items()]
        return ' '.join((head, f'{line.part}:', line.text, *fields))


class JsonFormatter(standard.Formatter):
    """Format a line as one JSON object; fields never replace the head."""

    def format(self, record: standard.LogRecord) -> str:
        """Format one record."""
        line = _get_line(record)
        head = {
            'time_epoch': round(record.created, 3),
            'level': record.levelname.lower(),
            'part': line.part,
            'text': line.text,
        }
        return json.dumps({**head, **line.fields, **head}, default=str)


def set_up(options: settings.Logs) -> None:
    """Configure logging to standard error as in the settings."""
    # absl warns on its first line until its flags are parsed. Here argparse
    # parses the command line, so absl has no flags to parse.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVEL_BY_VERBOSITY[options.verbosity])
    # At level debug urllib3 logs several lines for each call, which would
    # hide the lines of this program.
    standard.getLogger('urllib3').setLevel(standard.WARNING)
    formatter = JsonFormatter() if options.json else TextFormatter()
    handler = logging.get_absl_handler()
    handler.setFormatter(formatter)
    handler.python_handler.setStream(sys.stderr)
    # Its warnings are about lost connections, which the parts log themselves.
    standard.getLogger('urllib3').setLevel(standard.ERROR)


def debug(part: str, text: str, **fields: object) -> None:
    """Log a detail that is useful to developers."""
    _log_line(logging.DEBUG, LogLine(part, text, fields))


def info(part: str, text: str, **fields: object) -> None:
    """Log an ordinary change of state."""
    _log_line(logging.INFO, LogLine(part, text, fields))


def warning(part: str, text: str, **fields: object) -> None:
    """Log an event that an operator may have to look into."""
    _log_line(logging.WARNING, LogLine(part, text, fields))


def error(part: str, text: str, **fields: object) -> None:
    """Log an event that an operator has to look into."""
    _log_line(logging.ERROR, LogLine(part, text, fields))


def _log_line(level: int, line: LogLine) -> None:
    if level <= logging.get_verbosity():
        logging.log(level, '%s', line.text, extra={LINE_ATTRIBUTE: line})


def _get_line(record: standard.LogRecord) -> LogLine:
    """Return the line of a record; build one for records of libraries."""
    line = getattr(record, LINE_ATTRIBUTE, None)
    if isinstance(line, LogLine):
        fields = line.fields
    else:
        line = LogLine(record.name, record.getMessage(), {})
        fields = {}
    if record.exc_info:
        trace = standard.Formatter().formatException(record.exc_info)
        fields = {**fields, 'exception': trace}
    return line._replace(fields=fields)


def _quote(value: object) -> str:
    """Quote a value that could be taken for several fields or lines.

    Values can come from callers. A line break in one could forge a log line,
    and a space could forge a field; the quotes and escapes of JSON prevent
    both.
    """
    text = str(value)
    return (
        text
        if text and UNQUOTED_CHARACTERS.issuperset(text)
        else json.dumps(text)
    )
