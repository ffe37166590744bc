"""HTTP calls to daemons and stand-ins, straight to loopback whatever the shell's proxies are."""

import http.client
import json


def call(address, method, path, body=None, seconds=3):
    """(status, body), or None when nobody answers in time."""
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def isOk(address, path):
    answer = call(address, "GET", path, seconds=1)
    return answer is not None and answer[0] == 200


def document(address, path, seconds=3):
    """The JSON document at the path, or None."""
    answer = call(address, "GET", path, seconds=seconds)
    return json.loads(answer[1]) if answer and answer[0] == 200 else None


def control(address, **settings):
    """Sets faults of a stand-in."""
    return call(address, "POST", "/_control", json.dumps(settings)) is not None


def status(entry, seconds=2):
    """The status document of a daemon, as `apricothook status --json` prints it, or None."""
    request = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "status"})
    answer = call(entry, "POST", "/v1/operator", request, seconds)
    if not answer or answer[0] != 200:
        return None
    result = json.loads(answer[1]).get("result")
    return json.loads(result) if isinstance(result, str) else result


def lookup(entry):
    """The entries that a caller would be given, or None."""
    answer = document(entry, "/v1/entries", seconds=1)
    return answer["entries"] if answer else None
