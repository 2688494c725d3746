/**
 * Compares the mechanisms that run bookings at most once: the bookings that each
 * completes during a platform outage, its platform calls, and its processor time
 * and memory.
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
