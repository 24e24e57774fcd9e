#!/usr/bin/env python3
"""Runs clang-tidy on the given sources; skips those that passed before with the same content.

Content is the preprocessed source with comments and macros, the checks and the version of clang-tidy. What passed is
remembered in the user's cache folder, so a clean checkout on the same machine repeats no work.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build/release"
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "endivelever-tidy"

# Expansion of __DATE__ __TIME__, which a library header contains.
BUILD_TIME = re.compile(rb'"\w{3} [ \d]\d \d{4}" "\d{2}:\d{2}:\d{2}"')


def compile_commands():
    entries = json.loads((BUILD / "compile_commands.json").read_text())
    return {os.path.realpath(entry["file"]): entry for entry in entries}


def content_key(entry, fixed):
    """Hash of all that the result depends on; None if the source cannot be preprocessed."""
    arguments = [word for word in shlex.split(entry["command"]) if word != "/usr/bin/ccache"]
    arguments = arguments[:arguments.index("-o")] + ["-E", "-CC", "-dD", "-P", entry["file"]]
    done = subprocess.run(arguments, cwd=entry["directory"], capture_output=True, check=False)
    if done.returncode != 0:
        return None
    text = BUILD_TIME.sub(b"", done.stdout.replace(os.fsencode(ROOT), b""))
    return hashlib.sha256(fixed + os.fsencode(os.path.relpath(entry["file"], ROOT)) + text).hexdigest()


def check(source, commands, fixed):
    entry = commands.get(os.path.realpath(source))
    key = content_key(entry, fixed) if entry else None
    if key and (CACHE / key).exists():
        return True, ""
    done = subprocess.run(["clang-tidy", "--quiet", "-p", str(BUILD), source], cwd=ROOT, capture_output=True,
                          text=True, check=False)
    if done.returncode == 0 and key:
        (CACHE / key).touch()
    return done.returncode == 0, done.stdout


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    fixed = version + (ROOT / ".clang-tidy").read_bytes()
    commands = compile_commands()
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(lambda source: check(source, commands, fixed), sys.argv[1:]))
    for good, output in results:
        if not good:
            print(output)
    return 0 if all(good for good, _ in results) else 1


sys.exit(main())
