/**
 * Compares the mechanisms that run bookings at most once: the bookings that each
 * completes and the platform calls that it makes during a platform outage, and
 * the processor time and memory of claims and tickets. Also measures the
 * platform calls of claims at several rates.
 *
 * Run with `npm run build && node dist/bench/claims/main.js`.
 */
import {measureCosts} from "./costs.js"
import {measureOutage} from "./outage.js"
import {measureWrites} from "./writes.js"

const seed = Number(process.env.SEED ?? 20_261_203)

console.log(`seed ${seed}\n`)
await measureOutage(seed)
await measureWrites(seed)
measureCosts()
