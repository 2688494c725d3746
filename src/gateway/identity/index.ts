export * from "./callerAccess.js"
export * from "./denial.js"
