/** A link that can be cut: a loopback proxy whose connections, open and new ones, fall silent during a cut. */
import { connect, createServer } from 'node:net'

export async function openLink (targetPort) {
  const sockets = new Set()
  let isCut = false
  let cuts = 0

  function track (socket) {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
  }

  const server = createServer((near) => {
    track(near)
    const number = cuts
    if (isCut) return near.pause()
    const far = connect(targetPort, '127.0.0.1')
    track(far)
    const isWhole = () => cuts === number
    for (const [from, to] of [[near, far], [far, near]]) {
      from.on('data', (bytes) => { if (isWhole()) to.write(bytes) })
      from.on('end', () => { if (isWhole()) to.end() })
      from.on('close', () => { if (isWhole()) to.destroy() })
    }
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: server.address().port,
    /** From now on nothing passes any more, in either direction. */
    cut () {
      isCut = true
      cuts += 1
    },
    /** The connections of before stay silent; new ones work. */
    heal () { isCut = false },
    close () {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
