/** Applies a deployment's example configuration with the operator command. */
import {execFile} from "node:child_process"
import {readFileSync} from "node:fs"
import {dirname, join} from "node:path"
import {promisify} from "node:util"
import {parse} from "yaml"
import type {Deployment} from "./deployment.js"
import type {DeploymentName} from "./topology.js"

/** An adapter version that callers may name. */
export interface ModelVersion {
	/** `base:adapter@version`. */
	model: string
	source: string
}

interface AdapterFile {
	adapters: {
		base: string
		name: string
		versions: {version: string; source: string}[]
	}[]
}

const run = promisify(execFile)
const applyTimeoutMs = 30_000

/** The configuration files of a deployment. */
export function listConfigFiles(
	distDir: string,
	name: DeploymentName
): string[] {
	const dir = join(dirname(distDir), "examples", name)
	return ["settings.yaml", "adapters.yaml"].map(file => join(dir, file))
}

/** Runs `operator apply` and returns what it printed. */
export async function applyConfiguration(
	deployment: Deployment,
	files: readonly string[]
): Promise<string> {
	const args = [join(deployment.distDir, "src/bin/operator.js"), "apply"]
	for (const file of files) args.push("-f", file)
	args.push("--platform", deployment.platformUrl)
	args.push("--entries", deployment.entryLinks)
	args.push("--operator-token", deployment.operatorToken)
	const {stdout} = await run(process.execPath, args, {timeout: applyTimeoutMs})
	return stdout
}

/** The newest version of every adapter in an adapters file. */
export function readModels(file: string): ModelVersion[] {
	const {adapters} = parse(readFileSync(file, "utf8")) as AdapterFile
	return adapters.map(({base, name, versions}) => {
		const newest = versions.at(-1) ?? {version: "", source: ""}
		return {model: `${base}:${name}@${newest.version}`, source: newest.source}
	})
}
