export * from "./accessDecision.js"
export * from "./configProof.js"
export * from "./confirmPlan.js"
export * from "./continuousTime.js"
