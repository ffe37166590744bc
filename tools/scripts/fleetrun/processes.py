"""The processes that a run starts; no others are ever signalled."""

import signal
import subprocess
import time

EndLimitSeconds = 150


class Process:
    """One started process whose output goes to a file."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.log = log
        with open(log, "wb") as output:
            self.child = subprocess.Popen(
                [str(argument) for argument in arguments],
                stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT)

    def isRunning(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.isRunning():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def wait(self, seconds=EndLimitSeconds):
        """The exit code, or None when it still runs after the time."""
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None


class ProcessGroup:
    """All processes of a run, ended newest first."""

    def __init__(self, folder):
        self.folder = folder
        self.started = []

    def start(self, name, arguments):
        log = self.folder / f"{name}.log"
        process = Process(name, arguments, log)
        self.started.append(process)
        return process

    def endAll(self):
        # A stopped process doesn't see SIGTERM; nothing here has state that is worth a drain.
        for process in reversed(self.started):
            process.kill()


def await_(condition, seconds, step=0.05):
    """Whether the condition came true within the time."""
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        if condition():
            return True
        time.sleep(step)
    return False
