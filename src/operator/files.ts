/** Reads configuration files from disk. */
import {readdirSync, readFileSync, statSync} from "node:fs"
import {join} from "node:path"
import type {ConfigFile} from "../contract/config/index.js"
import {SettingsError} from "../contract/errors.js"
import {messageOf} from "../utils/common.js"

/**
 * Reads the files among `paths`, and the `.yaml` and `.yml` files directly in the
 * directories among them, sorted by name.
 *
 * @throws SettingsError listing every path that can't be read
 */
export function readConfigFiles(paths: readonly string[]): ConfigFile[] {
	if (paths.length === 0) {
		throw new SettingsError([
			"no file is given: use -f FILE, which may be repeated"
		])
	}
	const faults: string[] = []
	const files: ConfigFile[] = []
	for (const path of paths) {
		try {
			files.push(...listFiles(path).map(readFile))
		} catch (err) {
			faults.push(messageOf(err))
		}
	}
	if (faults.length > 0) throw new SettingsError(faults)
	return files
}

function listFiles(path: string): string[] {
	if (!statSync(path).isDirectory()) return [path]
	const names = readdirSync(path).filter(name => /\.ya?ml$/.test(name))
	return names.sort().map(name => join(path, name))
}

function readFile(path: string): ConfigFile {
	return {path, text: readFileSync(path, "utf8")}
}
