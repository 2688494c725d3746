export * from "./buildHistory.js"
export * from "./buildRecord.js"
export * from "./streamBinding.js"
export * from "./streamOrigins.js"
