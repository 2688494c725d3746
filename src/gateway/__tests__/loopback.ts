let allocated = 0

/** Returns a loopback address that no other test uses. */
export function createLoopbackIp(): string {
	allocated += 1
	const {pid} = process
	return `127.${100 + ((pid >> 8) % 100)}.${pid % 256}.${allocated}`
}
