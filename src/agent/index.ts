export * from "./agentTask.js"
export * from "./enginePort.js"
