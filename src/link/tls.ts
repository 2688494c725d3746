/** Certificates of links and of the callers' side. */
import {readFileSync} from "node:fs"
import * as grpc from "@grpc/grpc-js"
import {SettingsError} from "../contract/errors.js"
import {messageOf} from "../utils/common.js"

/** Paths of PEM files; all empty for plain text. */
export interface TlsFiles {
	tlsCert: string
	tlsKey: string
	tlsCa: string
}

/** Contents of the PEM files. */
export interface TlsKeys {
	cert: Buffer
	key: Buffer
	ca: Buffer
}

/**
 * Reads the files, or returns undefined when none is set.
 *
 * @throws SettingsError when only some are set or one is unreadable
 */
export function readTlsKeys(files: TlsFiles): TlsKeys | undefined {
	const paths = [files.tlsCert, files.tlsKey, files.tlsCa]
	if (paths.every(path => path === "")) return undefined
	if (paths.some(path => path === "")) {
		const fault = "--tls-cert, --tls-key and --tls-ca must be set together"
		throw new SettingsError([fault])
	}
	return {
		cert: readPem("--tls-cert", files.tlsCert),
		key: readPem("--tls-key", files.tlsKey),
		ca: readPem("--tls-ca", files.tlsCa)
	}
}

/**
 * Refuses plain text on addresses other than loopback.
 *
 * @throws SettingsError naming the address
 */
export function requireTlsUnlessLoopback(
	addresses: readonly string[],
	tls: TlsKeys | undefined,
	insecure: boolean,
	flags = "--tls-cert, --tls-key and --tls-ca"
): void {
	if (tls !== undefined || insecure) return
	const exposed = addresses.filter(address => !isLoopback(address))
	if (exposed.length === 0) return
	const faults = exposed.map(
		address =>
			`${address} is not a loopback address: set ${flags}, or --insecure true`
	)
	throw new SettingsError(faults)
}

/** Both sides present a certificate that the authority signed. */
export function serverCredentials(
	tls: TlsKeys | undefined
): grpc.ServerCredentials {
	if (tls === undefined) return grpc.ServerCredentials.createInsecure()
	const pair = {cert_chain: tls.cert, private_key: tls.key}
	return grpc.ServerCredentials.createSsl(tls.ca, [pair], true)
}

export function clientCredentials(
	tls: TlsKeys | undefined
): grpc.ChannelCredentials {
	if (tls === undefined) return grpc.credentials.createInsecure()
	return grpc.credentials.createSsl(tls.ca, tls.key, tls.cert)
}

function readPem(flag: string, path: string): Buffer {
	try {
		return readFileSync(path)
	} catch (err) {
		throw new SettingsError([`${flag}: ${messageOf(err)}`])
	}
}

function isLoopback(address: string): boolean {
	return address.startsWith("127.") || address.startsWith("[::1]:")
}
