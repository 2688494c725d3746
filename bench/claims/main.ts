/**
 * Measures the ways of running bookings at most once: what each completes
 * through an outage, its platform writes, and its cost in time and memory.
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
