import {expect, test} from "vitest"
import {z} from "zod"
import {SettingsError} from "../../contract/errors.js"
import {restoreFlagText} from "../flagText.js"
import {
	formatFlagName,
	integerSchema,
	settingSchemas,
	readSettings,
	formatVariableName
} from "../settings.js"
import {isMatchingToken} from "../token.js"

const specs = {
	id: {schema: settingSchemas.name, description: "name"},
	listen: {schema: settingSchemas.address, description: "address"},
	workers: {schema: settingSchemas.urls, description: "workers"},
	peers: {schema: settingSchemas.addresses, description: "peers"},
	drainMs: {schema: integerSchema(0, 100, 7), description: "drain"},
	insecure: {schema: settingSchemas.boolean, description: "insecure"},
	memberSecret: {
		schema: z.string().min(8, "too short").default("unset-secret"),
		description: "secret",
		secret: true
	}
}

const good = {
	id: "entry-1",
	listen: "127.0.0.1:80",
	workers: "http://127.0.0.1:1, http://127.0.0.1:2"
}

function faultsOf(
	flags: Record<string, unknown>,
	env: NodeJS.ProcessEnv = {}
): readonly string[] {
	try {
		readSettings(specs, flags, env)
	} catch (err) {
		if (err instanceof SettingsError) return err.faults
		throw err
	}
	return []
}

test("a setting has one flag and one variable", () => {
	expect(formatFlagName("drainMs")).toBe("drain-ms")
	expect(formatVariableName("drainMs")).toBe("GOLDCRESTLOOM_DRAIN_MS")
})

test("values are converted and defaults filled in", () => {
	expect(readSettings(specs, good, {})).toEqual({
		...good,
		workers: ["http://127.0.0.1:1", "http://127.0.0.1:2"],
		peers: [],
		drainMs: 7,
		insecure: false,
		memberSecret: "unset-secret"
	})
})

test("a flag goes before the variable", () => {
	const env = {GOLDCRESTLOOM_ID: "from-env", GOLDCRESTLOOM_DRAIN_MS: "9"}
	const settings = readSettings(specs, good, env)
	expect([settings.id, settings.drainMs]).toEqual(["entry-1", 9])
})

test("every fault is listed at once", () => {
	const faults = faultsOf({
		listen: "localhost:80",
		workers: "",
		peers: "127.0.0.1:1,nonsense",
		drainMs: 101,
		insecure: "maybe",
		unknownFlag: "x",
		other: true
	})
	expect(faults).toEqual([
		"unknown flag --unknown-flag",
		"unknown flag --other",
		"--id (GOLDCRESTLOOM_ID) is not set: expected a name",
		'--listen (GOLDCRESTLOOM_LISTEN) is "localhost:80": expected ip:port with a numeric address',
		expect.stringContaining('--workers (GOLDCRESTLOOM_WORKERS) is ""'),
		'--peers (GOLDCRESTLOOM_PEERS) is "127.0.0.1:1,nonsense": expected ip:port',
		'--drain-ms (GOLDCRESTLOOM_DRAIN_MS) is "101": expected 0 to 100',
		'--insecure (GOLDCRESTLOOM_INSECURE) is "maybe": expected true or false'
	])
})

test("the value of a secret is never shown", () => {
	const secret = "s3cret"
	const faults = [
		...faultsOf({...good, memberSecret: secret}),
		...faultsOf(good, {GOLDCRESTLOOM_MEMBER_SECRET: secret})
	]
	const name = "--member-secret (GOLDCRESTLOOM_MEMBER_SECRET)"
	const fault = `${name} is (hidden): too short`
	expect(faults).toEqual([fault, fault])
})

test.each(["", "1.5", "1e1", "0x1", " 1", "-1", "101", "9".repeat(30)])(
	"the integer %j is refused",
	drainMs => {
		expect(faultsOf({...good, drainMs})).toHaveLength(1)
	}
)

test.each(["", "-a", "a/b", "a b", "a".repeat(129), "ä"])(
	"the name %j is refused",
	id => {
		expect(faultsOf({...good, id})).toHaveLength(1)
	}
)

test("flags that look like numbers keep their text", () => {
	const parsed = {
		id: 7,
		memberSecret: 123_456_789_012_345_680_000,
		tlsCert: 0,
		listen: "127.0.0.1:1",
		peers: [1, "b"],
		insecure: true
	}
	const argv = ["--id", "007", "--member-secret=123456789012345678901"]
	const more = ["--tls-cert", "", "--peers", "1.0", "--peers", "b"]
	expect(restoreFlagText(parsed, [...argv, ...more, "--insecure"])).toEqual({
		id: "007",
		memberSecret: "123456789012345678901",
		tlsCert: "",
		listen: "127.0.0.1:1",
		peers: ["1.0", "b"],
		insecure: true
	})
})

test("a token is equal only to itself and never to nothing", () => {
	expect(isMatchingToken("secret", "secret")).toBe(true)
	for (const given of ["", "secre", "secrets", "Secret"]) {
		expect(isMatchingToken("secret", given)).toBe(false)
	}
	expect(isMatchingToken("", "")).toBe(false)
})
