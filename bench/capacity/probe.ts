/** Reads memory and processor time of this process, and times calls. */
import {setFlagsFromString} from "node:v8"
import {runInNewContext} from "node:vm"

const usPerMs = 1000

setFlagsFromString("--expose-gc")
const collectGarbage = runInNewContext("gc") as () => void

/** Heap and buffers in use after a full garbage collection, in bytes. */
export function readMemoryBytes(): number {
	collectGarbage()
	collectGarbage()
	const {heapUsed, arrayBuffers} = process.memoryUsage()
	return heapUsed + arrayBuffers
}

/** Processor time of this process so far, in microseconds. */
export function readCpuUs(): number {
	const {user, system} = process.cpuUsage()
	return user + system
}

/** Mean time of a call in microseconds, after a warm-up. */
export function measureMeanUs(call: () => void, times: number): number {
	for (let count = 0; count < times / 10; count++) call()
	const start = performance.now()
	for (let count = 0; count < times; count++) call()
	return ((performance.now() - start) * usPerMs) / times
}
