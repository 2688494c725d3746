export * from "./failurePenalty.js"
export * from "./engineChoice.js"
export * from "./serviceChoice.js"
export * from "./endpointPauses.js"
