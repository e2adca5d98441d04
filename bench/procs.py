"""Processes of a bench run: started, greeted, ended by their own handle.

Only the bench starts processes; the product never does.
"""

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
GREETING_S = 30
STOP_S = 20


def pick_ports(count):
    """Pick free ports of loopback, for processes that must be told one.

    All are held open until the last is picked, so that none comes twice.
    """
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in socks]


class Proc:
    """One process with its log file.

    :param greeting: the JSON object of its first line, empty if none.
    """

    def __init__(self, name, args, folder, greets=True, env=(), to_log=False):
        """Start ``python -m`` with the arguments and read its greeting.

        :param env: further environment variables, as a mapping.
        :param to_log: whether output goes to the log file; a process that
            writes much would fill a pipe that nobody empties.
        """
        self.name = name
        self.greeting = {}
        self.log = Path(folder) / f'{name}.log'
        with self.log.open('a') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', *args],
                cwd=ROOT,
                env=dict(os.environ, PYTHONUNBUFFERED='1', **dict(env)),
                stdout=log if to_log else subprocess.PIPE,
                stderr=log,
            )
        if greets:
            self.greeting = self._read_greeting()

    def _read_greeting(self):
        ready, _, _ = select.select([self.popen.stdout], [], [], GREETING_S)
        line = self.popen.stdout.readline() if ready else b''
        if not line:
            raise RuntimeError(f'{self.name} did not start, see {self.log}')
        return json.loads(line)

    def read_rest(self, wait_s):
        """Wait for the end and give its exit code and standard output."""
        out, _ = self.popen.communicate(timeout=wait_s)
        return self.popen.returncode, out.decode()

    def send_signal(self, signum):
        """Send a signal to this process alone."""
        if self.popen.poll() is None:
            self.popen.send_signal(signum)

    def stop(self):
        """End it gracefully, and hard if it does not end."""
        self.send_signal(signal.SIGTERM)
        try:
            self.popen.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()

    def read_memory(self):
        """Read its resident memory in bytes."""
        status = Path(f'/proc/{self.popen.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) * 1024
        return 0

    def read_cpu_s(self):
        """Read the processor time that it has used, in seconds."""
        fields = Path(f'/proc/{self.popen.pid}/stat').read_text()
        fields = fields.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')


def wait_for(condition, wait_s, what):
    """Wait until a condition holds.

    :raises RuntimeError: if it never does.
    """
    end = time.monotonic() + wait_s
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError(f'never came to be: {what}')
        time.sleep(0.05)
