export * from "./quotas.js"
export * from "./quotaTicket.js"
