/** Runs the policy benches: `main.js [compare|micro|all] [seed] [scenario]`. */
import {compare} from "./compare.js"
import {measureDecisions} from "./micro.js"

const [part = "all", seed = "1", filter = ""] = process.argv.slice(2)

if (part !== "compare") measureDecisions(Number(seed))
if (part !== "micro") compare(Number(seed), filter.toLowerCase())
