import subprocess
import sys

import pytest

from .test_bundles import VALID_BUNDLE


def run_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "apricotshore", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_faulty_bundle_ends_with_exit_code_2_and_errors_on_stderr(tmp_path):
    path = tmp_path / "bundle.ini"
    path.write_text(VALID_BUNDLE.replace("slots = 3", "slots = no"))
    done = run_command("bundle", "check", str(path))
    assert done.returncode == 2
    assert "[backend-server s1] slots" in done.stderr
    assert done.stdout == ""


def test_run_with_faulty_settings_exits_with_code_2(tmp_path):
    path = tmp_path / "host.ini"
    path.write_text("[host]\nname = x\n")
    done = run_command("run", str(path))
    assert done.returncode == 2
    assert "platform-address: missing key" in done.stderr


def test_unreachable_platform_ends_with_exit_code_4():
    done = run_command("bundle", "status", "--platform", "127.0.0.1:9")
    assert done.returncode == 4


def test_new_key_is_not_overwritten_and_only_readable_by_its_owner(tmp_path):
    path = tmp_path / "ana.key"
    done = run_command("key", "new", str(path))
    assert done.returncode == 0 and len(done.stdout.strip()) == 64
    assert path.stat().st_mode & 0o077 == 0
    assert run_command("key", "new", str(path)).returncode != 0


@pytest.mark.parametrize("command", [["--help"], ["bundle", "--help"]])
def test_help_is_shown(command):
    assert "bundle" in run_command(*command).stdout
