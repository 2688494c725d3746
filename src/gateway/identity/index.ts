export * from "./callerAccess.js"
export * from "./configFreshness.js"
export * from "./denial.js"
export * from "./proofRenewal.js"
