let taken = 0

/** A loopback address of this process that no other test has. */
export function createLoopbackIp(): string {
	taken += 1
	const {pid} = process
	return `127.${100 + ((pid >> 8) % 100)}.${pid % 256}.${taken}`
}
