export * from "./config/index.js"
export * from "./errors.js"
export * from "./gen/link_pb.js"
export * from "./names.js"
