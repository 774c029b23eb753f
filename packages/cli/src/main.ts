#!/usr/bin/env node
/** The `egretwing` program: the operators' command line. */

import process from 'node:process';
import {Builtins, Cli} from 'clipanion';
import {BenchCommand} from './commands/bench.ts';
import {CheckCommand} from './commands/check.ts';
import {DrainCommand} from './commands/drain.ts';
import {ExplainCommand} from './commands/explain.ts';
import {StatusCommand} from './commands/status.ts';
import {TraceCommand} from './commands/trace.ts';

const cli = new Cli({binaryLabel: 'egretwing', binaryName: 'egretwing', binaryVersion: '0.1.0'});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(BenchCommand);
cli.register(CheckCommand);
cli.register(StatusCommand);
cli.register(ExplainCommand);
cli.register(DrainCommand);
cli.register(TraceCommand);
await cli.runExit(process.argv.slice(2));
