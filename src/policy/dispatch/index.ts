export * from "./endpointTrust.js"
export * from "./engineChoice.js"
export * from "./serviceChoice.js"
