/**
 * Runs the policy benchmarks: `main.js [compare|micro|all] [seed] [scenario]`.
 * `scenario` selects the scenarios whose name contains it.
 */
import {compare} from "./compare.js"
import {measureDecisions} from "./micro.js"

const [selectedPart = "all", seed = "1", scenarioFilter = ""] =
	process.argv.slice(2)

if (selectedPart !== "compare") measureDecisions(Number(seed))
if (selectedPart !== "micro")
	compare(Number(seed), scenarioFilter.toLowerCase())
