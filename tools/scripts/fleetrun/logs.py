"""Reads the event logs of daemons; docs/EVENTS.md lists the numbers."""

import datetime
import re

Accepted, Refused, Reserved, Answered, AnswerFound, CallerLeft = 201, 202, 203, 206, 210, 211
FloorRaised, FloorFell, Drained, Obsolete, ObsoleteLife = 402, 403, 106, 107, 509

Line = re.compile(r"^([IWEF])(\d{8} \d\d:\d\d:\d\d\.\d{6}) .*?\] E(\d+) (\w+)(.*)$")
Detail = re.compile(r"([\w-]+)=(\S+)")


class Event:
    """One line: when (seconds of the epoch), number, key and details."""

    def __init__(self, match):
        moment = datetime.datetime.strptime(match[2], "%Y%m%d %H:%M:%S.%f")
        self.at = moment.timestamp()
        self.severity = match[1]
        self.number = int(match[3])
        self.text = match[4] + match[5]
        self.details = dict(Detail.findall(match[5]))
        self.key = self.details.get("key", "")


def readEvents(file):
    """The events of one life, and the lines that are none."""
    events, others = [], []
    for line in file.read_text(errors="replace").splitlines():
        match = Line.match(line)
        if match:
            events.append(Event(match))
        elif line.strip():
            others.append(line)
    return events, others
