/** A folder of programs that answer 200 to everything, in place of `dist`. */
import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {dirname, join} from "node:path"

const source = `
import {createServer} from "node:http"
const args = process.argv.slice(2)
const valueOf = flag => args[args.indexOf(flag) + 1]
const address = args.includes("--health") ? valueOf("--health") : valueOf("--listen")
let body = ""
createServer((req, res) => {
	if (req.method === "PUT") {
		body = ""
		req.on("data", chunk => (body += chunk))
		req.on("end", () => res.end("null"))
		return
	}
	res.end(req.url === "/last" ? body : JSON.stringify(args))
}).listen(Number(address.split(":")[1]), "127.0.0.1")
process.stderr.write("started with " + process.env.TEST_VALUE)
process.on("SIGTERM", () => process.exit(3))
`

const programs = [
	"src/bin/entry.js",
	"src/bin/endpoint.js",
	"standins/bin/platform.js",
	"standins/bin/weightStore.js",
	"standins/bin/engine.js",
	"standins/bin/service.js"
]

export interface FakeDist {
	dir: string
	remove(): void
}

export function createFakeDist(): FakeDist {
	const dir = mkdtempSync(join(tmpdir(), "goldcrestloom-fake-"))
	writeFileSync(join(dir, "package.json"), '{"type": "module"}')
	for (const program of programs) {
		mkdirSync(dirname(join(dir, program)), {recursive: true})
		writeFileSync(join(dir, program), source)
	}
	const remove = (): void => {
		rmSync(dir, {recursive: true})
	}
	return {dir, remove}
}
