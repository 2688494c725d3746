export * from "./agentTask.js"
export * from "./enginePort.js"
export * from "./leaseStore.js"
