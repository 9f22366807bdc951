"""What the platform's pages want of `run`: one process, nothing else started, and `node` tells all of it."""

import signal
import subprocess
import tomllib

from loftroute.lab.standins import ROOT, Unit, eventually

# Imported before the program: notes what would start a process or open a socket of another kind than IPv4,
# and at the end what was loaded.
WATCHER = """
import atexit, os, socket, sys
TRACE = os.open(os.environ["TRACE_FILE"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
STARTS = ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen", "pty.spawn")

def watch(event, args):
    if event in STARTS:
        os.write(TRACE, f"started {event}\\n".encode())
    elif event == "socket.__new__" and args[1] not in (-1, socket.AF_INET):
        os.write(TRACE, f"socket {args[1]}\\n".encode())

sys.addaudithook(watch)

def told():
    for name, module in list(sys.modules.items()):
        if name.split(".")[0] in ("loftroute", "__main__") and getattr(module, "__file__", None):
            os.write(TRACE, f"loaded {module.__file__}\\n".encode())

atexit.register(told)
"""


def deploy():
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def run_watched(relay, tmp_path):
    """The records of one relay: start, a request, SIGHUP, SIGTERM."""
    hook = tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(WATCHER)
    trace = tmp_path / "trace"
    it = relay({"u1": Unit()}, env={"PYTHONPATH": str(hook), "TRACE_FILE": str(trace)})
    client = it.client()
    assert it.read(client) == b"value of k1"
    it.reload()
    eventually(lambda: "reload: discovery" in it.text())
    it.process.send_signal(signal.SIGTERM)
    client.close()
    assert it.process.wait(10) == 0
    return trace.read_text().splitlines()


def test_run_starts_no_process_opens_no_unix_socket_and_node_names_every_file(relay, tmp_path):
    records = run_watched(relay, tmp_path)
    assert [r for r in records if not r.startswith("loaded ")] == []
    named = [ROOT / path for key in ("policy", "node") for path in deploy()[key]]
    loaded = [r.removeprefix("loaded ") for r in records]
    assert str(ROOT / "loftroute" / "decision" / "policy.py") in loaded  # the trace is whole
    lacking = [file for file in loaded if not any(file == str(p) or file.startswith(f"{p}/") for p in named)]
    assert lacking == []
    assert all(path.exists() for path in named)


def test_run_ends_by_exec_in_one_dynamically_linked_program():
    run = deploy()["run"]
    assert run.startswith("exec ") and not set(run) & set(";|&`$")
    program = (ROOT / run.split()[1]).resolve().read_bytes()
    assert program.startswith(b"\x7fELF") and b"\0libc.so.6\0" in program


def test_a_start_compiles_nothing():
    """Guards against slow starts: with -O the interpreter's own cache is of no use, and where hundreds of
    relays start at once on few cores, compiling the standard library took three quarters of each start."""
    subprocess.run(["/bin/sh", "-c", deploy()["build"]], cwd=ROOT, capture_output=True, check=True)
    command = deploy()["run"].replace(" -m loftroute", " -v -c 'import loftroute.__main__'")
    told = subprocess.run(["/bin/sh", "-c", command], cwd=ROOT, capture_output=True, text=True, check=True)
    read = [line for line in told.stderr.splitlines() if line.startswith("# code object from")]
    assert any("loftroute/decision/policy" in line for line in read)
    assert [line for line in read if ".pyc" not in line] == []
